//! Free ports, picked by the operating system.

use std::net::TcpListener;

/// Prints `count` free ports, one a line.
///
/// # Errors
///
/// If the operating system has none.
pub fn print(count: usize) -> std::io::Result<()> {
    // All are held until the last is known, so that none comes twice.
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
    for listener in &listeners {
        println!("{}", listener.local_addr()?.port());
    }
    Ok(())
}
