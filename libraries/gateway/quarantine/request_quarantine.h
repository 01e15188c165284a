// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>
#include <gateway/upstreams/upstream_exchange.h>

namespace postpaddle::gateway {

/// Reason given to clients and in logs for refusing a quarantined request.
inline constexpr const char* quarantine_reason = "upstreams ended while they ran this request";

/// Sets the request's fingerprint, which all its retries share. The caller must have been identified.
void set_fingerprint(gateway_request& request);

/// Sets the fingerprints of the parts of its prompt. The service must be known.
void set_part_prints(gateway_request& request);

/// Records that a run of the request which was sent then has survived its start, which clears the parts of
/// its prompt of exits before it.
void record_survival(const gateway_request& request, base::time_point sent);

/// Remaining quarantine of a request during whose execution, or with a part of whose prompt, upstreams
/// crashed. Nothing if it may be sent.
[[nodiscard]] std::optional<base::duration> quarantine_time_left(const gateway_request& request);

/// Reason why the request must not be sent to another upstream (such as a revoked key), or null. To be
/// checked right before each send, since the state may change while the request waits.
[[nodiscard]] const char* reason_to_stop(gateway_request& request);

/// What this host knows of upstreams that ended while they ran the request or another one with a part of its
/// prompt, for the host that it is forwarded to or came from. Empty if there were none.
[[nodiscard]] std::string encode_suspects(const gateway_request& request);

/// Applies what the host with that address knows, so that the next attempt, here or there, counts it.
void apply_suspects(gateway_state& state, const std::string& suspects, const std::string& sender);

/// Records a complete, successful answer, which clears the request of suspicion.
void record_success(const gateway_request& request);

/// If the connection broke before any part of the answer arrived, checks whether the upstream's process has
/// exited.
///
/// A broken connection alone is no proof: links are reset while the process lives on. A process whose port
/// refuses new connections afterwards has exited. The port is probed at once and, unless it is known to be
/// closed, again in the background (see `decision/exit_check.h`). A detected exit is reported to all hosts.
void detect_upstream_exit(gateway_request& request, const ports::upstream_attempt& send,
                          const exchange_result& exchange, wire::yield_context yield);

/// Whether checks in progress on upstreams of the request could quarantine it. For a request that is not
/// suspected yet, only the first probes of a check count.
[[nodiscard]] bool is_exit_check_pending(const gateway_request& request);

/// Waits for checks in progress on upstreams of the request if their results could quarantine it.
void await_exit_checks(const gateway_request& request, wire::yield_context yield);

/// Waits, up to the request's deadline, for all checks in progress on its upstreams: the host that forwarded
/// it may send it again.
void await_all_exit_checks(const gateway_request& request, wire::yield_context yield);

} // namespace postpaddle::gateway
