//! A relay in front of one instance's peer address. Pausing the relay's
//! process cuts the instance off from what its peers send, and only that: a
//! cut in one direction.

use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
};

/// Passes connections on to `to` until the process ends.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn run(listen: &str, to: String) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    println!("{}", listener.local_addr()?);
    loop {
        let (mut from, _) = listener.accept().await?;
        let to = to.clone();
        tokio::spawn(async move {
            if let Ok(mut onward) = TcpStream::connect(&to).await {
                let _ended = copy_bidirectional(&mut from, &mut onward).await;
            }
        });
    }
}
