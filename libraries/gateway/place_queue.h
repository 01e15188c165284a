// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>

namespace postpaddle::gateway {

/// Wakes the requests of this host that wait for a place at an engine, each when its turn may have come.
///
/// Changes come with each report of another host; they are looked at together, and a look costs what the
/// engines and the waiting requests are, not their product.
class place_queue {
public:
    explicit place_queue(gateway_state& state);

    /// Starts hearing of changes.
    void start();

private:
    void did_change();
    void wake_next();
    [[nodiscard]] double free_places(const waiting_request& first) const;

    gateway_state* state;
    wire::boot_timer timer;
    bool is_due = false;
};

} // namespace postpaddle::gateway
