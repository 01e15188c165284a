// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_table.h>
#include <decision/shared_rate.h>

namespace postpaddle::decision {

/// Limits that upstreams name in their answers, in requests a second from all hosts together. One is in force
/// until an answer names none, whoever hears it: silence lifts nothing, as an upstream that gets no request
/// can't say anything.

/// Takes what an answer of the upstream to a request sent at `sent` named; says whether that differs from
/// what was known. An answer to a request sent before the limit was last named lifts nothing: it may have
/// been made before.
bool note_limit(instance& target, std::optional<double> per_second, base::time_point sent,
                base::time_point now);

/// Takes what another host heard; the newest word counts. Says whether it differs from what was known.
bool hear_limit(instance& target, std::optional<double> per_second, base::time_point said,
                base::time_point now);

/// Whether a limit is in force.
[[nodiscard]] bool is_limited(const instance& target);

/// From when on this host may send it a request, `now` at the earliest; none where others are its senders.
/// Where nobody has heard of it for long, its senders may have nothing to send: more and more others may.
[[nodiscard]] std::optional<base::time_point>
next_limited_send(const instance& target, const rate_sharers& sharers, base::time_point now);

/// Pause between two requests of this host to it, while a limit is in force.
[[nodiscard]] base::duration limited_pause(const instance& target, const rate_sharers& sharers);

} // namespace postpaddle::decision
