// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/settings_snapshot.h>

#include <atomic>

namespace postpaddle::service {

/// The settings in force, shared by all threads. Goes forward only.
class settings_store {
public:
    /// What is in force, or null before there is anything.
    [[nodiscard]] settings_pointer current() const;
    /// Puts a snapshot in force unless it is older than what is; says whether it did.
    bool put(settings_pointer next);

private:
    std::atomic<settings_pointer> in_force;
};

} // namespace postpaddle::service
