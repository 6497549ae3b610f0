//! The configuration in force at a proxy, with what requests need of it and is derived once.

use std::time::Duration;
use tindock_configuration::{Catalogue, Change, Finder, Route, Service};
use tindock_slot_allocation::function_id::FunctionId;
use tindock_slot_allocation::Function;

/// The slots of an instance whose function sets no bound.
const UNBOUNDED_SLOTS: usize = 1024;

/// A configuration in force.
pub struct ActiveConfiguration {
    catalogue: Catalogue,
    finder: Finder,
    /// The identifiers of the services, by their index.
    function_ids: Vec<FunctionId>,
}

impl ActiveConfiguration {
    pub fn new(catalogue: Catalogue) -> Self {
        let finder = Finder::new(&catalogue);
        let function_ids = catalogue.services.iter().map(|service| FunctionId::of(&service.name)).collect();
        ActiveConfiguration { catalogue, finder, function_ids }
    }

    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    pub fn revision(&self) -> u64 {
        self.catalogue.revision
    }

    /// The configuration after this change; `None` if the change is of another revision.
    pub fn apply(&self, change: &Change) -> Option<Catalogue> {
        self.catalogue.apply(change)
    }

    /// The route of a request.
    pub fn route(&self, host: &str, target: &str) -> Option<&Route> {
        self.finder.find(host, target).map(|index| &self.catalogue.routes[index])
    }

    /// The service to which the route leads, of several the one that `random` chooses.
    pub fn service(&self, route: &Route, random: u32) -> Option<(&Service, FunctionId)> {
        let index = route.choose(random) as usize;
        Some((self.catalogue.services.get(index)?, *self.function_ids.get(index)?))
    }

    /// The functions whose slots are allocated.
    pub fn functions(&self) -> Vec<Function> {
        let services = self.catalogue.services.iter().zip(&self.function_ids);
        let function = |(service, id): (&Service, &FunctionId)| Function {
            id: *id,
            name: service.name.clone(),
            slots: match service.max_inflight {
                0 => UNBOUNDED_SLOTS,
                slots => slots as usize,
            },
            boot: Duration::from_millis(service.boot_ms.into()),
        };
        services.map(function).collect()
    }
}
