// SPDX-License-Identifier: BSD-2-Clause
#include <decision/exit_check.h>

#include <algorithm>
#include <array>

namespace postpaddle::decision {

using namespace std::chrono_literals;

bool is_attributable(base::duration since_break) { return since_break <= attributable_time; }

exit_verdict judge_exit(const exit_look& look) {
    if (!is_attributable(look.since_break) || look.is_leaving || look.has_new_start)
        return exit_verdict::not_attributable;
    return look.is_port_known_closed ? exit_verdict::exited : exit_verdict::look_again;
}

base::duration pause_before_look(int looks) {
    static constexpr std::array<base::duration, 4> pauses = {50ms, 150ms, 300ms, 450ms};
    return pauses.at(std::min(static_cast<std::size_t>(looks), pauses.size() - 1));
}

} // namespace postpaddle::decision
