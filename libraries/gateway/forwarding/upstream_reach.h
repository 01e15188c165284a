// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>

#include <string>

/// Applies the attempts to connect to upstreams to the failure detector of `decision/reachability.h`.
namespace postpaddle::gateway {

/// Whether this host suspects its own links to the service.
[[nodiscard]] bool is_service_unreachable(const gateway_state& state, const std::string& service);

/// Records a new connection to an upstream. The first one after the links had failed makes the service's
/// upstreams usable again.
void did_connect_to_upstream(gateway_state& state, const std::string& service, base::time_point started);

/// Records that a new connection could not be opened. If that shows that this host's links have failed, wakes
/// the requests that wait for the service, so that they are forwarded.
void did_fail_to_connect(gateway_state& state, const base::upstream_id& instance, base::time_point started);

/// Records that an upstream gave no byte of an answer, which is worth a probe of the links.
void did_get_no_answer(gateway_state& state, const base::upstream_id& instance);

} // namespace postpaddle::gateway
