//! The start of an estate whose platform does not answer at first.

use filberttrail_declare::sample;
use filberttrail_dev::{Caller, estate::apply_declarations};
use filberttrail_stand_in::platform::{Faults, Rates};
use filberttrail_store::{Platform, configuration};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

async fn set_outage(address: SocketAddr, outage: bool) {
    let faults = serde_json::to_vec(&Faults { outage, ..Faults::default() }).expect("JSON");
    let caller = Caller::new("none");
    let request = caller.request("PUT", "/control/faults", &[], faults);
    let set = caller.call(address, request, Duration::from_secs(10)).await;
    assert!(set.expect("a response").status().is_success());
}

#[tokio::test]
async fn an_estate_starts_once_its_platform_answers() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (_stop, stopped) = watch::channel(false);
    let platform = filberttrail_stand_in::Platform::new(Rates::default());
    tokio::spawn(platform.run(listener, stopped));
    set_outage(address, true).await;
    let platform = Platform::new(address);
    let declarations = sample::declarations(&[1; 64]);
    let applied = configuration::apply(&platform, &declarations, "one".into()).await;
    assert!(applied.is_err(), "a single try fails");
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(300)).await;
        set_outage(address, false).await;
    });
    apply_declarations(&platform, &declarations).await.expect("the platform answers by then");
}
