// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/stalled_run.h>

#include <optional>

/// Whether to give up a run whose upstream has fallen silent, where others could take it over.
///
/// Where all of these are silent as well, as after a stall of machines or of a network that they share,
/// another one is no better: a run there costs a prompt, retry budget and memory, and ends no sooner. The run
/// is kept until one of them shows a sign of life. An upstream that is silent alone is left as
/// `stalled_run.h` says.
namespace postpaddle::decision {

/// The other upstreams that could take a silent run over. None where something else would, such as a host.
struct other_upstreams {
    int alive = 0;  ///< Have shown a sign of life since the run fell silent.
    int silent = 0; ///< Have not, although they were asked for one.
    /// Time since all of them were last silent during this silence of the run; none if they never were.
    std::optional<base::duration> since_shared{};

    bool operator==(const other_upstreams&) const = default;
};

/// Whether all others are silent together with the run's upstream.
[[nodiscard]] bool is_silence_shared(const other_upstreams& others);

/// Whether to replace the run by another one, provided that this is certain to be possible.
[[nodiscard]] bool should_replace(const stall_facts& facts, const other_upstreams& others);

/// Whether to give the run up although nothing is certain to replace it, as it has not run.
[[nodiscard]] bool should_give_up_alone(const stall_facts& facts, const other_upstreams& others);

} // namespace postpaddle::decision
