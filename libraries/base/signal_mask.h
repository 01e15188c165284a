// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::base {

/// Keeps the signals that stop or reload this process (SIGTERM, SIGINT, SIGHUP) from the calling thread.
/// Where every thread has blocked them, they wait without an effect until the process exits.
void block_control_signals();

} // namespace postpaddle::base
