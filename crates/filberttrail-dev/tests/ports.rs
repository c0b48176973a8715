//! The ports that the components of an estate listen on.

use filberttrail_dev::{Estate, Options};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn components_listen_below_the_ports_that_the_system_gives_to_connections() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let range = range.expect("the range of the system's ports");
    let lowest: u16 =
        range.split_whitespace().next().and_then(|port| port.parse().ok()).expect("a port");
    let estate = Estate::start(Options::default()).await.expect("an estate");
    let addresses = estate.caller_addresses.iter().chain(&estate.admin_addresses);
    let upstreams = ["engine-00", "counter-0"];
    let upstreams = upstreams.iter().flat_map(|name| {
        [estate.upstream_address(name), estate.sidecar_address(name)]
            .map(|address| address.expect("an address"))
    });
    for address in addresses.copied().chain(upstreams) {
        assert!(
            address.port() < lowest,
            "{address}: a connection may get this port, from {lowest}"
        );
    }
    tokio::task::spawn_blocking(move || estate.stop()).await.expect("the estate stops");
}
