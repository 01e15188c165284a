// SPDX-License-Identifier: BSD-2-Clause
// The transition table has more rows than Boost.MPL's preprocessed headers support.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS // NOLINT(cppcoreguidelines-macro-usage)
#define BOOST_MPL_LIMIT_VECTOR_SIZE 40        // NOLINT(cppcoreguidelines-macro-usage)
#define BOOST_MPL_LIMIT_LIST_SIZE 40          // NOLINT(cppcoreguidelines-macro-usage)
#define FUSION_MAX_VECTOR_SIZE 20             // NOLINT(cppcoreguidelines-macro-usage)

#include <service/request_lifecycle.h>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <array>
#include <atomic>

namespace postpaddle::service {

namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
template <class Source, class Event, class Target>
using transition = msm::front::Row<Source, Event, Target, none, none>;

// Event types for Boost.MSM, one for each lifecycle_event.
struct admitted {};
struct prefill_sent {};
struct prefill_done {};
struct decode_sent {};
struct first_token {};
struct finished {};
struct engine_failed {};
struct abandoned {};
struct caller_gone {};

std::atomic<std::uint64_t> unexpected_count{0};

struct lifecycle_definition : msm::front::state_machine_def<lifecycle_definition> {
    struct received : msm::front::state<> {};
    struct queued : msm::front::state<> {};
    struct prefilling : msm::front::state<> {};
    struct retained : msm::front::state<> {};
    struct transferring : msm::front::state<> {};
    struct decoding : msm::front::state<> {};
    struct done : msm::front::state<> {};
    struct refused : msm::front::state<> {};
    struct broken : msm::front::state<> {};
    struct cancelled : msm::front::state<> {};
    using initial_state = received;

    // After an engine failure the request returns to `queued`. From there it is prefilled again, or sent
    // to a decode engine directly if the KV cache is still retained.
    using transition_table = mpl::vector<
        transition<received, admitted, queued>, transition<received, abandoned, refused>,
        transition<received, caller_gone, cancelled>, transition<queued, prefill_sent, prefilling>,
        transition<queued, decode_sent, transferring>, transition<queued, abandoned, refused>,
        transition<queued, caller_gone, cancelled>, transition<prefilling, prefill_done, retained>,
        transition<prefilling, engine_failed, queued>, transition<prefilling, abandoned, broken>,
        transition<prefilling, caller_gone, cancelled>, transition<retained, decode_sent, transferring>,
        transition<retained, abandoned, broken>, transition<retained, caller_gone, cancelled>,
        transition<transferring, first_token, decoding>, transition<transferring, engine_failed, queued>,
        transition<transferring, abandoned, broken>, transition<transferring, caller_gone, cancelled>,
        transition<decoding, finished, done>, transition<decoding, engine_failed, queued>,
        transition<decoding, abandoned, broken>, transition<decoding, caller_gone, cancelled>,
        // Final phases; the caller may still disconnect while its response is written.
        transition<done, caller_gone, done>, transition<refused, caller_gone, refused>,
        transition<broken, caller_gone, broken>, transition<cancelled, caller_gone, cancelled>,
        transition<cancelled, abandoned, cancelled>, transition<cancelled, engine_failed, cancelled>>;

    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/) {
        this->was_unexpected = true;
        ++unexpected_count;
    }

    bool was_unexpected = false;
};

using lifecycle_machine = msm::back::state_machine<lifecycle_definition>;

/// Phases in the order of the state ids listed in `phase_of_state`.
constexpr std::array phases_by_state = {lifecycle_phase::received,     lifecycle_phase::queued,
                                        lifecycle_phase::prefilling,   lifecycle_phase::retained,
                                        lifecycle_phase::transferring, lifecycle_phase::decoding,
                                        lifecycle_phase::done,         lifecycle_phase::refused,
                                        lifecycle_phase::broken,       lifecycle_phase::cancelled};

template <class State>
constexpr int state_id = msm::back::get_state_id<lifecycle_machine::stt, State>::type::value;

lifecycle_phase phase_of_state(int state) {
    static const std::array state_ids = {
        state_id<lifecycle_definition::received>,     state_id<lifecycle_definition::queued>,
        state_id<lifecycle_definition::prefilling>,   state_id<lifecycle_definition::retained>,
        state_id<lifecycle_definition::transferring>, state_id<lifecycle_definition::decoding>,
        state_id<lifecycle_definition::done>,         state_id<lifecycle_definition::refused>,
        state_id<lifecycle_definition::broken>,       state_id<lifecycle_definition::cancelled>};
    const auto position = std::find(state_ids.begin(), state_ids.end(), state) - state_ids.begin();
    return phases_by_state.at(static_cast<std::size_t>(position));
}

} // namespace

struct request_lifecycle::implementation {
    lifecycle_machine machine;
    run_certainty certainty = run_certainty::nothing_sent;
};

request_lifecycle::request_lifecycle() : impl(std::make_unique<implementation>()) {
    this->impl->machine.start();
}

request_lifecycle::~request_lifecycle() = default;

bool request_lifecycle::handle_event(lifecycle_event event) {
    lifecycle_machine& machine = this->impl->machine;
    machine.was_unexpected = false;
    switch (event) {
    case lifecycle_event::admitted:
        machine.process_event(admitted{});
        break;
    case lifecycle_event::prefill_sent:
        machine.process_event(prefill_sent{});
        break;
    case lifecycle_event::prefill_done:
        machine.process_event(prefill_done{});
        break;
    case lifecycle_event::decode_sent:
        machine.process_event(decode_sent{});
        break;
    case lifecycle_event::first_token:
        machine.process_event(first_token{});
        break;
    case lifecycle_event::finished:
        machine.process_event(finished{});
        break;
    case lifecycle_event::engine_failed:
        machine.process_event(engine_failed{});
        break;
    case lifecycle_event::abandoned:
        machine.process_event(abandoned{});
        break;
    case lifecycle_event::caller_gone:
        machine.process_event(caller_gone{});
        break;
    }
    return !machine.was_unexpected;
}

lifecycle_phase request_lifecycle::phase() const {
    return phase_of_state(*this->impl->machine.current_state());
}

bool request_lifecycle::is_over() const { return this->phase() >= lifecycle_phase::done; }

void request_lifecycle::record_certainty(run_certainty certainty) {
    this->impl->certainty = std::max(this->impl->certainty, certainty);
}

run_outcome request_lifecycle::outcome() const {
    switch (this->impl->certainty) {
    case run_certainty::nothing_sent:
    case run_certainty::refused_upstream:
        return run_outcome::not_run;
    case run_certainty::may_have_run:
        return run_outcome::unknown;
    case run_certainty::has_run:
        return run_outcome::failed;
    }
    return run_outcome::unknown;
}

std::uint64_t request_lifecycle::unexpected_events() { return unexpected_count; }

const char* to_text(lifecycle_phase phase) {
    static constexpr std::array names = {"received", "queued", "prefilling", "kept",   "transferring",
                                         "decoding", "done",   "refused",    "broken", "cancelled"};
    return names.at(static_cast<std::size_t>(phase));
}

} // namespace postpaddle::service
