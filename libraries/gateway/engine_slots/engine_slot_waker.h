// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>

namespace postpaddle::gateway {

/// Wakes this host's requests that wait for an engine slot when they may have reached the head of the queue.
///
/// Changes arrive with every report from another host, so they are batched. The cost of a check grows with
/// the sum of engines and waiting requests, not with their product.
class engine_slot_waker {
public:
    explicit engine_slot_waker(gateway_state& state);

    /// Subscribes to changes of engine load.
    void start();

private:
    void schedule_wake();
    void wake_next();

    gateway_state* state;
    wire::boot_timer timer;
    bool is_scheduled = false;
};

} // namespace postpaddle::gateway
