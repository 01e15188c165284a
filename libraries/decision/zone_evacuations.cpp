// SPDX-License-Identifier: BSD-2-Clause
#include <decision/zone_evacuations.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

void take_word(zone_evacuations& known, const zone_word& word, evacuation_change& change) {
    const auto [found, is_new] = known.by_zone.try_emplace(word.zone, zone_word{.zone = word.zone});
    zone_word& before = found->second;
    if (!is_new && word.offset <= before.offset)
        return;
    if (word.is_evacuated != before.is_evacuated)
        (word.is_evacuated ? change.evacuated : change.taken_back).push_back(word.zone);
    before = word;
}

} // namespace

evacuation_change take_zone_words(zone_evacuations& known, const zone_word_page& page) {
    evacuation_change change;
    // NOTE: A zone that the teller knows as taken back long ago may have been evacuated and taken back again
    // before the page's end: only one that stands there as evacuated is.
    std::set<base::zone_id> evacuated;
    for (const zone_word& word : page.words) {
        if (word.is_evacuated)
            evacuated.insert(word.zone);
        if (word.offset >= known.end)
            take_word(known, word, change);
    }
    if (page.is_whole && page.end > known.end)
        for (auto& [zone, word] : known.by_zone)
            if (word.is_evacuated && word.offset < page.end && !evacuated.contains(zone))
                take_word(known, {.zone = zone, .is_evacuated = false, .offset = page.end - 1}, change);
    known.end = std::max(known.end, page.end);
    return change;
}

zone_word_page zone_words_of(const zone_evacuations& known) {
    zone_word_page page{.words = {}, .end = known.end, .is_whole = true};
    for (const auto& [zone, word] : known.by_zone)
        page.words.push_back(word);
    return page;
}

std::set<base::zone_id> evacuated_zones(const zone_evacuations& known) {
    std::set<base::zone_id> zones;
    for (const auto& [zone, word] : known.by_zone)
        if (word.is_evacuated)
            zones.insert(zone);
    return zones;
}

} // namespace postpaddle::decision
