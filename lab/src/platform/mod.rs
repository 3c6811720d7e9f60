//! Stand-in for the platform: table service, object store and host list.

use std::{cell::RefCell, net::SocketAddr, pin::Pin, rc::Rc, time::Duration};

use bergamottrack_operator::{Reply, Request, serve::Handler};
use clap::Args;
use hyper::{Method, StatusCode};

mod store;

use store::Store;

/// Settings of the platform.
#[derive(Args, Clone, Debug)]
pub struct PlatformArgs {
    /// Address of its services.
    #[arg(long)]
    pub listen: SocketAddr,
}

/// Runs the platform until the process ends.
pub async fn run(args: PlatformArgs) -> anyhow::Result<()> {
    let store = Rc::new(RefCell::new(Store::default()));
    let handler: Rc<Handler> =
        Rc::new(move |request: Request| -> Pin<Box<dyn Future<Output = Reply>>> {
            Box::pin(answer(store.clone(), request))
        });
    bergamottrack_operator::serve(args.listen, handler).await
}

/// Answers a request, with the faults that are set.
async fn answer(store: Rc<RefCell<Store>>, request: Request) -> Reply {
    if &*request.path == "/faults" {
        return store.borrow_mut().set_faults(&request.body);
    }
    let faults = store.borrow().faults.clone();
    if faults.down {
        // During an outage requests get no answer, so clients wait until their own timeout.
        monoio::time::sleep(Duration::from_secs(3600)).await;
    }
    if faults.slow_ms > 0 {
        monoio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    let write = request.method != Method::GET;
    let reply = serve(&mut store.borrow_mut(), &request);
    if write && store.borrow_mut().drops_answer(&request.path) {
        monoio::time::sleep(Duration::from_secs(3600)).await;
    }
    reply
}

/// Routes a request to its service.
fn serve(store: &mut Store, request: &Request) -> Reply {
    let path = &*request.path;
    if let Some(key) = path.strip_prefix("/table/row/") {
        return Reply::json(StatusCode::OK, &store.read(key));
    }
    if let Some(prefix) = path.strip_prefix("/table/rows/") {
        return Reply::json(StatusCode::OK, &store.rows(prefix));
    }
    if path == "/table/commit" {
        return store.commit(&request.body);
    }
    if let Some(key) = path.strip_prefix("/objects/") {
        return match request.method {
            Method::PUT => store.put_object(key, request.body.clone()),
            _ => store.object(key),
        };
    }
    if path == "/hosts" {
        return match request.method {
            Method::PUT => store.set_machines(&request.body),
            _ => Reply::json(StatusCode::OK, &store.machines()),
        };
    }
    Reply::text(StatusCode::NOT_FOUND, "no such service\n")
}
