//! `hollywell status`: prints the state of an instance, and of its peers and targets as
//! it sees them.

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::{
    Failure,
    ask::{AdminClient, address_arg},
};
use crate::view::View;

pub(super) fn command() -> Command {
    Command::new("status")
        .about(
            "Show instances, targets with the versions they serve, the applied offset and leases",
        )
        .arg(address_arg())
        .arg(
            Arg::new("json")
                .long("json")
                .help("Print the whole view as one JSON object")
                .action(ArgAction::SetTrue),
        )
}

pub(super) fn run(args: &ArgMatches) -> Result<(), Failure> {
    let view = AdminClient::new(args)?.view()?;
    if args.get_flag("json") {
        println!("{}", serde_json::to_string(&view).map_err(Failure::run)?);
    } else {
        print_view(&view);
    }
    Ok(())
}

fn print_view(view: &View) {
    let state = match (view.draining, view.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    println!("instance  {} in {}: {state}", view.instance, view.domain);
    println!("in force  offset {}{}", view.next, if view.gap { " (records missing)" } else { "" });
    println!("in flight {}; keys known {}", view.in_flight, view.claims);
    println!("\n{:<20} {:<16} {:<6} {:>10}", "peer", "domain", "live", "in force");
    for peer in &view.peers {
        println!("{:<20} {:<16} {:<6} {:>10}", peer.name, peer.domain, peer.live, peer.next);
    }
    println!(
        "\n{:<20} {:<12} {:<16} {:<8} {:>9} versions",
        "target", "pool", "domain", "leaving", "in flight"
    );
    for target in &view.targets {
        let versions: Vec<String> = target
            .versions
            .iter()
            .map(|(trainer, version)| format!("{trainer}={version}"))
            .collect();
        println!(
            "{:<20} {:<12} {:<16} {:<8} {:>9} {}",
            target.name,
            target.pool,
            target.domain,
            target.leaving,
            target.in_flight,
            versions.join(" ")
        );
    }
    println!("\n{:<16} {:<24} {:>8}  key owners (epoch)", "domain", "orders lease", "fence");
    // One lease per failure domain, under which its holder sends orders to load weights.
    for (domain, map) in &view.maps {
        let lease = view.leases.get(domain);
        let holder = lease.map_or(String::from("-"), |grant| grant.holder.to_string());
        let fence = lease.map_or(0, |grant| grant.fence);
        let members: Vec<String> = map.members.iter().map(ToString::to_string).collect();
        println!("{domain:<16} {holder:<24} {fence:>8}  {} ({})", members.join(" "), map.epoch);
    }
}
