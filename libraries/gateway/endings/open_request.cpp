// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/endings/open_request.h>

#include <gateway/endings/request_record.h>

namespace postpaddle::gateway {

open_request::open_request(gateway_state& state, wire::caller_connection& connection) {
    this->own.state = &state;
    this->own.connection = &connection;
    this->own.arrived = state.clock->now();
    ++state.requests_in_progress;
    state.open_requests.insert(this);
}

open_request::~open_request() {
    record_request_end(this->own, request_ending::unanswered);
    this->own.state->open_requests.erase(this);
    --this->own.state->requests_in_progress;
}

void open_request::record_cut() { record_request_end(this->own, request_ending::cut); }

} // namespace postpaddle::gateway
