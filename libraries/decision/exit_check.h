// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

/// How long to look whether an upstream, a connection to which broke, has exited.
///
/// A process that exits closes its connections before its listening socket, and on a loaded machine a probe
/// of its port may get no answer in time. So neither an open port nor a probe without an answer shows that
/// the upstream lives on: both are looked at again until an exit could no longer be attributed to the
/// request.
namespace postpaddle::decision {

/// Exits later than this after the break are not attributed to the requests whose connections broke. A loaded
/// machine may close the port of a process that exits some hundred milliseconds after its connections, and a
/// restarted upstream takes longer than this to be listed again.
inline constexpr base::duration attributable_time = std::chrono::seconds(2);

/// Probes that a request which is not suspected waits for: those of the first 200 ms. Its next attempt would
/// otherwise be late for each connection that broke while the upstream lives on.
inline constexpr int max_awaited_looks = 2;

/// What a probe of the port showed.
struct exit_look {
    base::duration since_break{};      ///< From the break to the start of the probe.
    bool is_port_known_closed = false; ///< It refused a connection while this host's other links worked.
    bool is_leaving = false;           ///< The upstream announced its shutdown, whatever it ran.
    bool has_new_start = false;        ///< The registry lists a later start at the probed address.
};

enum class exit_verdict {
    exited,
    look_again,
    not_attributable, ///< Whether it exited or not, the request is not to blame.
};

[[nodiscard]] bool is_attributable(base::duration since_break);

[[nodiscard]] exit_verdict judge_exit(const exit_look& look);

/// Pause before the next probe, after that many in the background. Short at first, as most exits are seen
/// then, and longer later, as the upstream probably lives on.
[[nodiscard]] base::duration pause_before_look(int looks);

} // namespace postpaddle::decision
