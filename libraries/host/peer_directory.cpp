// SPDX-License-Identifier: BSD-2-Clause
#include <host/peer_directory.h>

#include <algorithm>
#include <iterator>

namespace postpaddle::host {

namespace {

using namespace std::chrono_literals;

/// A host that nobody was heard to have heard for longer is not worth a heartbeat.
constexpr base::duration alive_lifetime = 30s;
/// A host counts among those that share a bound for this long. Long, because what all hosts share is divided
/// by their number: counting one too many costs little, one too few breaks the bound, and in a large system
/// news of a host comes seldom.
constexpr base::duration counted_lifetime = 120s;
/// A host that hears nobody for this long is cut off: each host sends a heartbeat every 1.2 s or so and gets
/// an answer to it.
constexpr base::duration cut_off_silence = 2s;
/// Among few hosts, each is heard of at least so often: two or three heartbeats carry its word to all.
constexpr base::duration longest_silence = 3'500ms;
/// One draw in this many goes to a host that has been silent, or to a seed.
constexpr int silent_draw = 8;

} // namespace

bool may_listen(const peer& value, base::time_point now) {
    return !value.is_leaving && now - value.heard < counted_lifetime;
}

bool may_be_alive(const peer& value, base::time_point now) {
    return !value.is_leaving && now - value.heard < alive_lifetime;
}

void note_word(peer_directory& directory, const base::host_id& name, const std::string& address,
               const base::zone_id& zone, base::time_point now) {
    directory.last_word = now;
    directory.by_name[name] = {.address = address, .zone = zone, .heard = now, .is_leaving = false};
}

void note_heard(peer_directory& directory, const base::host_id& name, base::time_point now) {
    directory.last_word = now;
    const auto found = directory.by_name.find(name);
    if (found != directory.by_name.end())
        found->second.heard = std::max(found->second.heard, now);
}

void note_hearsay(peer_directory& directory, const base::host_id& name, const peer& told) {
    const auto [found, is_new] = directory.by_name.try_emplace(name);
    peer& known = found->second;
    if (is_new) {
        known.address = told.address;
        known.zone = told.zone;
    }
    known.heard = std::max(known.heard, told.heard);
}

void note_leaving(peer_directory& directory, const base::host_id& name) {
    const auto found = directory.by_name.find(name);
    if (found != directory.by_name.end())
        found->second.is_leaving = true;
}

bool may_miss_word(const peer_directory& directory, base::time_point now) {
    // Also where no other host is known: one that was cut off since it started has heard of none.
    if (now - directory.last_word >= cut_off_silence)
        return true;
    if (directory.by_name.size() > few_hosts)
        return false;
    return std::ranges::any_of(directory.by_name, [now](const auto& item) {
        return may_listen(item.second, now) && now - item.second.heard >= longest_silence;
    });
}

std::vector<std::string> addresses_of_all(const peer_directory& directory, base::time_point now) {
    std::vector<std::string> addresses;
    for (const auto& [name, known] : directory.by_name)
        if (may_listen(known, now))
            addresses.push_back(known.address);
    return addresses;
}

namespace {

/// When any other host was last heard.
base::time_point last_word_of_any(const peer_directory& directory) {
    base::time_point last_word{};
    for (const auto& [name, known] : directory.by_name)
        last_word = std::max(last_word, known.heard);
    return last_word;
}

} // namespace

int count_alive(const peer_directory& directory) {
    // NOTE: The time since the last word of anyone counts for nobody. A host that is cut off from all others
    // would else forget them and take all that they share, while they go on with their parts.
    const base::time_point last_word = last_word_of_any(directory);
    return static_cast<int>(std::ranges::count_if(directory.by_name, [last_word](const auto& item) {
        return last_word - item.second.heard < counted_lifetime;
    }));
}

double position_among_alive(const peer_directory& directory, const base::host_id& own) {
    const base::time_point last_word = last_word_of_any(directory);
    const auto before = std::ranges::count_if(directory.by_name, [last_word, &own](const auto& item) {
        return item.first < own && last_word - item.second.heard < counted_lifetime;
    });
    return static_cast<double>(before) / (count_alive(directory) + 1);
}

std::map<base::host_id, peer> latest_heard(const peer_directory& directory, std::size_t count,
                                           base::time_point now) {
    std::vector<const std::pair<const base::host_id, peer>*> alive;
    for (const auto& item : directory.by_name)
        if (may_be_alive(item.second, now))
            alive.push_back(&item);
    const auto latest = alive.begin() + static_cast<std::ptrdiff_t>(std::min(count, alive.size()));
    std::ranges::partial_sort(alive, latest, std::ranges::greater{},
                              [](const auto* item) { return item->second.heard; });
    std::map<base::host_id, peer> heard;
    for (auto item = alive.begin(); item != latest; ++item)
        heard.insert(**item);
    return heard;
}

std::vector<std::string> draw_peers(const peer_directory& directory, std::size_t count, base::time_point now,
                                    std::mt19937_64& random) {
    std::vector<std::string> alive;
    std::vector<std::string> silent = directory.seeds;
    for (const auto& [name, known] : directory.by_name)
        (may_be_alive(known, now) ? alive : silent).push_back(known.address);
    std::vector<std::string> drawn;
    std::ranges::sample(alive, std::back_inserter(drawn), static_cast<std::ptrdiff_t>(count), random);
    std::uniform_int_distribution<int> draw(0, silent_draw - 1);
    if (drawn.empty() || draw(random) == 0)
        std::ranges::sample(silent, std::back_inserter(drawn), 1, random);
    return drawn;
}

} // namespace postpaddle::host
