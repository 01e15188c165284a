// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <decision/estimate.h>
#include <settings/routing_settings.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace postpaddle::decision {

/// What an upstream's answer said of its load.
struct instance_load {
    int running = 0;
    int waiting = 0;
    int places = 0;
    int pace_percent = 100; ///< Time that work takes there at present, against what is usual there.

    bool operator==(const instance_load&) const = default;
};

/// Work in progress at an instance.
struct instance_use {
    int requests = 0;
    double memory_tokens = 0; ///< Tokens that the work takes, or will take, of the engine's memory.
    double prompt_tokens = 0; ///< Prompt tokens that are not read yet.

    bool operator==(const instance_use&) const = default;
};

/// Adds or takes away work.
instance_use& operator+=(instance_use& left, const instance_use& right);
instance_use& operator-=(instance_use& left, const instance_use& right);

/// Whether new work may go to an instance.
enum class listing {
    listed,   ///< In the registry and not leaving.
    leaving,  ///< Said that it will end. Never undone in this start; the next one is another instance.
    vanished, ///< Its entry went away while the registry was sound.
    unlisted, ///< Its entry went away while the registry was in trouble; a last resort.
};

/// Failures of an instance, and until when it is put aside for them.
struct instance_health {
    int failures_in_row = 0;
    base::time_point last_good{}; ///< Last whole answer.
    double failure_rate = 0;      ///< Running mean of 0 (good) and 1 (failed).
    base::time_point aside_until{};
    base::time_point out_of_service_until{}; ///< Its port is dead or its stage changes until then.

    bool operator==(const instance_health&) const = default;
};

/// The limit that an upstream named in its answers, see upstream_limit.h.
struct named_limit {
    std::optional<double> per_second; ///< Requests from all hosts together; none: it names none.
    base::time_point said{};          ///< When it last said so, to whichever host.
    base::time_point changed{};       ///< When this host took it over; unset: none was ever named.
    base::time_point heard_here{};    ///< When an answer to this host last said it.

    bool operator==(const named_limit&) const = default;
};

/// One start of a server, as this host sees it.
struct instance {
    settings::upstream_entry entry;
    listing state = listing::listed;
    std::uint64_t offset = 0; ///< Of the newest registry record about it.
    instance_health health;
    instance_use own;               ///< Sent by this host, or promised, and not ended.
    instance_use others;            ///< The same of the other hosts, as they told.
    bool is_far = false;            ///< Belongs to hosts that don't tell this one what they have there.
    base::time_point others_told{}; ///< When one of those last told of it.
    int avoided_by = 0;             ///< Other hosts that could not reach it lately.
    bool is_out_of_service_elsewhere = false; ///< Another host knows that it is out of service.
    estimate latency = make_estimate(0.08);   ///< Seconds to a plain answer.
    estimate slowness = make_estimate(1);     ///< Time taken over time expected, for prompts.
    base::duration seen_wait{};               ///< Queue that the last own prompt met.
    base::time_point seen_wait_at{};
    instance_load load;
    int own_at_load = 0; ///< Own requests there when the load was heard.
    base::time_point load_at{};
    double hidden_tokens =
        0; ///< Memory that must be taken by others, as it refused what had room by our count.
    base::time_point hidden_at{};
    base::time_point cold_until{}; ///< It bears only few requests until then.
    named_limit limit;
    base::time_point last_send{};     ///< Of this host, of whatever kind.
    base::time_point leaving_since{}; ///< When it was first known to have said in an answer that it will end.
    base::time_point said_leaving{};  ///< When an answer to this host last said so.
    base::time_point rests_until{};   ///< It asked this host, and no other, to send it nothing before.
};

/// A change of the registry.
struct registry_change {
    base::upstream_id id;
    std::optional<settings::upstream_entry> entry; ///< None: the entry went away.
    std::uint64_t offset = 0;

    bool operator==(const registry_change&) const = default;
};

/// Whether the registry answered as it should around a change.
enum class registry_condition { sound, in_trouble };

/// How a send to an instance ended, for its health.
enum class send_verdict {
    good,        ///< A whole answer of its own.
    busy,        ///< It said that it did not run the request.
    shut,        ///< It takes no prompts now: its memory is full of those that wait, or its stage changes.
    failed,      ///< An error of its own, or a broken answer.
    unreachable, ///< No connection, or silence.
    ended,       ///< Nothing listens at its address: its process has gone, whoever asks.
};

/// All instances by id.
struct instance_table {
    std::map<base::upstream_id, instance> by_id;
    std::set<base::zone_id> evacuated{}; ///< Availability zones whose upstreams get nothing new.
    bool has_unlisted =
        false; ///< Some may be: without, none is looked for at each word that the registry is sound.
};

/// What a change did to the table.
enum class change_effect {
    none,      ///< Nothing that matters to a request.
    relisted,  ///< The instance's listing changed.
    restarted, ///< A new start of a server took the place of an earlier one under its id.
};

/// Takes over one change. Older records, heartbeats older than those known, and word of an earlier start
/// change nothing. A new start begins as an instance of which nothing is known.
change_effect apply_change(instance_table& table, const registry_change& change,
                           registry_condition condition);

/// A whole registry.
struct registry_snapshot {
    std::vector<registry_change> entries;
    std::vector<base::upstream_id> unreadable; ///< Named by entries that can't be read.
    std::uint64_t end = 0;                     ///< Offset after the newest record.
};

/// Takes over a whole registry: what it does not name and was known before its end has vanished; what an
/// entry names that can't be read stays as it is known. Gives the ids whose listing changed.
std::vector<base::upstream_id> apply_snapshot(instance_table& table, const registry_snapshot& snapshot,
                                              registry_condition condition);

/// The registry has been sound for long enough that instances that live are back in it: those that it lost in
/// trouble have gone. Gives their ids.
std::vector<base::upstream_id> settle_unlisted(instance_table& table);

/// It said itself that it will end. Says whether that is new.
bool note_leaving(instance& target, base::time_point now);

/// Forgets instances that have gone and carry no work of this host.
void forget_gone(instance_table& table);

/// The instance, or null.
[[nodiscard]] instance* find_instance(instance_table& table, const base::upstream_id& id);

/// Counts how a send ended; failures in a row put the instance aside, longer each time.
void note_verdict(instance& target, send_verdict verdict, base::time_point now);

/// It refused a request though it has room by its own account: it fails part of what it gets while its health
/// check is good, so others go before it.
void note_unfounded_refusal(instance& target);

/// It takes no work until then, and says so to whoever asks: its port is dead, or its stage changes.
void put_out_of_service(instance& target, base::time_point until);

/// It asked this host to send it nothing for so long.
void note_rest(instance& target, base::duration rest, base::time_point now);

/// Whether it rests from this host.
[[nodiscard]] bool is_resting(const instance& target, base::time_point now);

/// Takes the load that an answer told.
void note_load(instance& target, const instance_load& load, base::time_point now);

/// It refused work for which it had `free_tokens` of memory by our count: hosts that are not heard, or an
/// expectation that was wrong, take at least that much.
void note_refusal(instance& target, double free_tokens, base::time_point now);

/// Memory that is taken beyond what hosts tell, fading out after a refusal.
[[nodiscard]] double hidden_memory(const instance& target, base::time_point now);

/// Requests of other hosts there, from the last report, fading out as it ages.
[[nodiscard]] double others_requests(const instance& target, base::time_point now);

/// Time that work takes there at present against what is usual there, by its last answer; fading to 1 as that
/// ages, as upstreams that share their machine change their pace many times a second.
[[nodiscard]] double pace_now(const instance& target, base::time_point now);

/// Whether own failures keep it from new work while there is another.
[[nodiscard]] bool is_aside(const instance& target, base::time_point now);

/// Whether this host knows that its port is dead, or that its stage changes.
[[nodiscard]] bool is_out_of_service(const instance& target, base::time_point now);

/// Whether the other hosts' work there is known: they tell it, or one of them told it a moment ago.
[[nodiscard]] bool is_load_known(const instance& target, base::time_point now);

/// Whether new work avoids it for what this host or another found.
[[nodiscard]] bool is_avoided(const instance& target, base::time_point now);

/// Word for a listing, as in logs.
[[nodiscard]] const char* to_text(listing state);

} // namespace postpaddle::decision
