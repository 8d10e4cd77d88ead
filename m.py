import subprocess
D='crates/hollywell/src/core/departure.rs'; F='crates/hollywell/src/core/fleet.rs'
G=[("no gap in what a peer lists",D,"|| page.from > self.end ",""),
("age of what a peer lists",D,"self.mark_known(known_at, page.end);","self.mark_known(now, page.end);"),
("older records return no target",D,"self.leaving.get(id).is_some_and(|known| known.offset > offset)","self.leaving.get(id).is_some_and(|_| false && offset == 0)"),
("age of the view at a send",F,"Some(known_at) if now.since(known_at) <= max_age_ms => Standing::InUse","Some(known_at) if now >= known_at || max_age_ms == 0 => Standing::InUse"),
("own word after an outage",F,"self.departures.known_at().filter(|_| !target.expired)","self.departures.known_at()"),
("forgotten departures are not claimed",D,"*from = (*from).max(known.offset + 1);","*from = (*from).max(0);"),
]
for n,f,a,b in G:
    s=open(f).read(); assert s.count(a)==1,(n,s.count(a)); open(f,'w').write(s.replace(a,b))
    r=subprocess.run('CARGO_TARGET_DIR=/tmp/hw/muttarget cargo test -q -p hollywell --test departure 2>&1',shell=True,capture_output=True,text=True).stdout
    open(f,'w').write(s)
    import re
    print(n,'|',sorted(set(re.findall(r'^(\w+) --- FAILED',r,re.M))), 'BUILD' if 'error' in r and 'panicked' not in r else '', [l for l in r.splitlines() if 'leaves by' in l][:1])
