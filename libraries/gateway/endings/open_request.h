// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

namespace postpaddle::gateway {

/// A request that was read whole, from then on until it has ended. Whichever way it ends, that is recorded
/// once: a request that is left without an ending is recorded as unanswered, which is a defect.
class open_request {
public:
    open_request(gateway_state& state, wire::caller_connection& connection);
    open_request(const open_request&) = delete;
    open_request(open_request&&) = delete;
    open_request& operator=(const open_request&) = delete;
    open_request& operator=(open_request&&) = delete;
    ~open_request();

    [[nodiscard]] gateway_request& request() { return this->own; }
    /// Records nothing: another host forwarded it here, keeps it and has been told so.
    void decline() { this->own.is_end_recorded = true; }
    /// Records that the host stops before the request has ended.
    void record_cut();

private:
    gateway_request own;
};

} // namespace postpaddle::gateway
