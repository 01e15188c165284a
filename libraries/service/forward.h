// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::service {

struct settings_snapshot;
class settings_store;
class metrics;
class decision_controller;
class limit_controller;
class upstream_registry;
class claim_client;
class release_controller;
class relay_worker;
class request_mailbox;
struct request_context;
struct worker_services;
class control_thread;
class entry_host;

} // namespace postpaddle::service
