// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/effect.h>
#include <decision/pairing.h>
#include <decision/router_state.h>

namespace postpaddle::decision {

/// Queues a new request, or refuses it immediately if its target can't be met.
void admit(router_state& state, const request_facts& facts, base::time_point now, effects& out);

/// Starts queued requests in fair order until one has to wait, and refuses those that can no longer be
/// served.
void dispatch(router_state& state, base::time_point now, effects& out);

/// Starts an attempt on an engine pair: reserves the decode slot and the link, and sends the prompt.
void start_attempt(router_state& state, deployment_state& deployment, request_state& request,
                   const pair_choice& choice, base::time_point now, effects& out);

/// Starts the decode phase from the retained KV cache at the chosen decode engine.
void send_decode(router_state& state, request_state& request, base::time_point now, effects& out);

/// Ends a request without a complete response and releases everything it holds.
void end_without_answer(router_state& state, request_state& request, refusal reason,
                        base::duration retry_after, effects& out);

/// Emits a `release_hold` for each hold of a request that is not being released yet.
void release_all(router_state& state, request_state& request, effects& out);

/// Releases the reserved decode slot and the counted prompt work, if any.
void release_reservations(router_state& state, request_state& request);

/// Subtracts the request's outstanding prompt work from its prefill engine.
void release_prompt_work(router_state& state, request_state& request);

/// Updates the engine's count of requests beyond their organisation's share that hold a reservation and have
/// not started decoding.
void update_waiting_count(engine_state& engine, request_state& request, bool is_waiting);

/// Appends to a request's trace.
void add_trace_entry(request_state& request, base::time_point now, std::string what);

/// Erases an ended request once it holds nothing, and moves its trace to the ended ones.
void erase_if_ended(router_state& state, const base::request_id& id);

} // namespace postpaddle::decision
