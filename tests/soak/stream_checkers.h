// SPDX-License-Identifier: BSD-2-Clause
// Checks streams that their callers take up again while servers of several software versions serve.
#pragma once

#include <soak/checkers.h>
#include <soak/observations.h>

namespace postpaddle::soak {

/// Streams that were taken up while their version was served and the store was there.
struct take_up_count {
    int counted = 0;
    int went_on = 0;
    /// Of those that did not go on, the ones before which no other version had ever served.
    int refused_with_one_version = 0;
    std::vector<std::string> refused; ///< What happened to those that did not go on.
};

struct take_up_counts {
    take_up_count named;
    take_up_count unnamed; ///< Of callers that don't say which attempt they resume, with a body of their own.
    take_up_count unnamed_alike; ///< The same with a body that others send too.
};

/// Of each stream and loss the first take-up at a host that is ready again counts.
[[nodiscard]] take_up_counts count_take_ups_after_losses(const observations& seen,
                                                         const promised_bounds& bounds);

/// Of each stream the first take-up counts that no loss of all hosts separates from its beginning.
[[nodiscard]] take_up_counts count_take_ups_without_loss(const observations& seen,
                                                         const promised_bounds& bounds);

/// The events of a stream come from one software version, over all its attempts, and none of them runs at
/// another one.
[[nodiscard]] violations check_one_version(const observations& seen);
/// The events of a stream are in order over all its attempts, without gap or repetition.
[[nodiscard]] violations check_event_order(const observations& seen);
/// After a loss of all hosts at least nine in ten of the named take-ups go on, all if there was one version
/// only. One refusal in a run is allowed otherwise, since a share of a few says little. Not checked where the
/// retry budget may run out.
[[nodiscard]] violations check_take_ups_after_losses(const observations& seen, const promised_bounds& bounds);
/// A take-up whose version has no server left is refused and does not run.
[[nodiscard]] violations check_gone_versions(const observations& seen);

} // namespace postpaddle::soak
