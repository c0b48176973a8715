//! Ports that test processes are given.

use filberttrail_test_support::process::free_ports;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, TcpListener};

/// First port, and number of ports that a process claims at a time.
const FIRST: u16 = 20_000;
const BLOCK: u16 = 50;

#[test]
fn a_process_claims_the_ports_that_it_is_given_until_it_ends() {
    let ports = free_ports(120);
    assert_eq!(ports.iter().collect::<BTreeSet<_>>().len(), 120, "none is given twice");
    let claims: BTreeSet<u16> = ports.iter().map(|port| port - (port - FIRST) % BLOCK).collect();
    for claim in claims {
        let bound = TcpListener::bind((Ipv4Addr::LOCALHOST, claim));
        assert!(bound.is_err(), "another process could claim the ports from {claim}");
    }
}
