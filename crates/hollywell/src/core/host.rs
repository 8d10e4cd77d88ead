//! Names of hosts, in the form in which requests and routes are compared.

use std::net::Ipv6Addr;

/// The name of the host in an authority (RFC 3986, section 3.2): without a port,
/// in lower case and without the dot at its end; an IPv6 address in its shortest
/// form and in brackets. Of a malformed authority, a name that no host has.
///
/// # Example
///
/// ```
/// use hollywell::core::host;
///
/// assert_eq!(host::name("H.Example.:8080"), "h.example");
/// assert_eq!(host::name("[2001:DB8:0::1]:80"), "[2001:db8::1]");
/// ```
#[must_use]
pub fn name(authority: &str) -> String {
    // Configurations may state an address without brackets.
    if let Ok(address) = authority.parse::<Ipv6Addr>() {
        return format!("[{address}]");
    }
    let is_port = |port: &str| port.bytes().all(|byte| byte.is_ascii_digit());
    let host = match authority.rsplit_once(':') {
        Some((host, port)) if is_port(port) => host,
        _ => authority,
    };
    let literal = host.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
    if let Some(Ok(address)) = literal.map(str::parse::<Ipv6Addr>) {
        return format!("[{address}]");
    }
    host.strip_suffix('.').unwrap_or(host).to_ascii_lowercase()
}
