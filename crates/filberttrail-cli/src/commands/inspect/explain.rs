//! `explain`: shows why a request was routed to its upstream.

use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::runtime;
use filberttrail_kernel::plugin::inventory;
use filberttrail_kernel::{Error, Result};
use filberttrail_web::{Body, Client};
use std::net::SocketAddr;
use std::time::Duration;

inventory::submit! {
    Command {
        name: "explain",
        usage: "REQUEST-ID --admin ADDRESS[,ADDRESS...] [--json]",
        about: "Shows the candidates, scores and cause of each routing decision for a request",
        flags: &["--admin ADDRESSES   the entries' admin addresses", "--json   print JSON"],
        examples: &[Example {
            line: "explain 0a1b2c3d-7 --admin 127.0.0.1:7001",
            about: "Looks a request up at one entry",
        }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let json = arguments.flag("--json");
    let admins: String = arguments.required("--admin")?;
    let request = arguments.positional("REQUEST-ID")?;
    arguments.finish()?;
    let help = "give IP addresses and ports, separated by commas";
    let parsed: std::result::Result<Vec<SocketAddr>, _> =
        admins.split(',').map(str::parse).collect();
    let admins = parsed.map_err(|error| Error::setting("--admin", error, help))?;
    let decisions = runtime::block_on(async { Ok(fetch_decisions(&admins, &request).await) })?;
    let Some(decisions) = decisions else {
        eprintln!(
            "no entry has a record of request '{request}': entries keep the last 10,000 requests"
        );
        return Ok(crate::FAILURE);
    };
    if json {
        println!("{}", serde_json::to_string(&decisions).unwrap_or_default());
        return Ok(crate::SUCCESS);
    }
    for decision in decisions {
        let choice = decision["choice"].as_str().unwrap_or("none");
        println!("{}: {choice}", decision["cause"].as_str().unwrap_or_default());
        for candidate in decision["candidates"].as_array().into_iter().flatten() {
            let name = candidate[0].as_str().unwrap_or_default();
            println!("  {name:<24} {:.4}", candidate[1].as_f64().unwrap_or_default());
        }
    }
    Ok(crate::SUCCESS)
}

/// Returns the routing decisions of a request from the first entry that has a record of it.
async fn fetch_decisions(
    admins: &[SocketAddr],
    request_id: &str,
) -> Option<Vec<serde_json::Value>> {
    let client = Client::new();
    for admin in admins {
        let request = hyper::Request::get(format!("/explain/{request_id}")).header("host", "entry");
        let request = request.body(Body::empty()).ok()?;
        // Reads a response body of at most 1 MiB within 2 s.
        let response = client.fetch(*admin, request, Duration::from_secs(2), 1 << 20).await;
        if let Ok(response) = response
            && response.status().is_success()
        {
            return serde_json::from_slice(response.body()).ok();
        }
    }
    None
}
