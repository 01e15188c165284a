// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/settings_snapshot.h>

#include <atomic>

namespace postpaddle::service {

/// Active settings, shared by all threads. The revision never decreases.
class settings_store {
public:
    /// Returns the active settings, or null if there are none yet.
    [[nodiscard]] settings_pointer current() const;
    /// Activates a snapshot unless its revision is older than the active one. Returns whether it was
    /// activated. Must only be called from the control thread.
    bool update(settings_pointer snapshot);

private:
    std::atomic<settings_pointer> active;
};

} // namespace postpaddle::service
