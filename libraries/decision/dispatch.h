// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/effect.h>
#include <decision/pairing.h>
#include <decision/router_state.h>

namespace postpaddle::decision {

/// Queues a new request, or ends it at once when its target can't be met.
void admit(router_state& state, const request_facts& facts, base::time_point now, effects& out);

/// Starts every queued request that can go now, in fair order, and ends those that have become too late.
void dispatch(router_state& state, base::time_point now, effects& out);

/// Starts an attempt on a pair: reserves the decode place and the link, and sends the prompt.
void start_attempt(router_state& state, deployment_state& deployment, request_state& request,
                   const pair_choice& choice, base::time_point now, effects& out);

/// Sends the kept prefill result to the chosen decode engine.
void send_decode(router_state& state, request_state& request, base::time_point now, effects& out);

/// Ends a request without a whole answer and frees all it holds.
void end_without_answer(router_state& state, request_state& request, refusal reason,
                        base::duration retry_after, effects& out);

/// Emits a release for each hold of a request that is not being released yet.
void release_all(router_state& state, request_state& request, effects& out);

/// Gives back the promised place and the counted prompt work, if any.
void return_promises(router_state& state, request_state& request);

/// Gives back the counted prompt work.
void return_prompt_work(router_state& state, request_state& request);

/// Counts a promise beyond its organisation's share in or out of those that wait at the engine.
void count_waiting(engine_state& engine, request_state& request, bool is_waiting);

/// Adds a line to a request's story.
void tell(request_state& request, base::time_point now, std::string what);

/// Forgets an ended request once nothing is held for it.
void forget_if_done(router_state& state, const base::request_id& id);

} // namespace postpaddle::decision
