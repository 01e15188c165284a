// SPDX-License-Identifier: BSD-2-Clause
#include <service/settings_snapshot.h>

#include <base/verify.h>

namespace postpaddle::service {

const settings::organisation_policy* settings_snapshot::policy_of_key(std::string_view key) const {
    const auto* const organisation = settings::organisation_of(this->keys, settings::hash_of_key(key));
    return organisation == nullptr ? nullptr : &this->policies.at(*organisation);
}

settings_pointer make_snapshot(const settings::settings_state& state) {
    POSTPADDLE_VERIFY(state.tree != nullptr);
    auto snapshot = std::make_shared<settings_snapshot>();
    snapshot->revision = state.revision;
    snapshot->next_offset = state.next_offset;
    snapshot->tree = state.tree;
    snapshot->topology = decision::topology_of(*state.tree);
    for (const auto& [path, level] : settings::all_organisations(*state.tree)) {
        if (level->key_hashes.empty())
            continue;
        for (const std::string& hash : level->key_hashes)
            settings::add_key(snapshot->keys, hash, path);
        snapshot->policies[path] = settings::policy_of(*state.tree, path);
    }
    return snapshot;
}

} // namespace postpaddle::service
