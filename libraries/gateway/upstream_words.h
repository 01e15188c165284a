// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <host/load_share.h>

#include <vector>

/// What upstreams say of themselves in their answers, and how hosts pass it on to each other.
namespace postpaddle::gateway {

/// Takes what the head of an instance's own answer to a request sent at `sent` says.
void take_words(gateway_state& state, decision::instance& target, const ports::answer_facts& facts,
                base::time_point sent);

/// Takes limits that another host told.
void hear_limits(gateway_state& state, const std::vector<host::told_limit>& limits);

/// Whose word of limits is told.
enum class limit_source {
    own_answers, ///< Of upstreams that this host has just heard itself.
    any,         ///< Of all, whoever heard them.
};

/// Limits to tell other hosts, and for a while those that were lifted. Bounded: where there are more, some
/// drawn at random.
[[nodiscard]] std::vector<host::told_limit> limits_to_tell(gateway_state& state, limit_source source);

} // namespace postpaddle::gateway
