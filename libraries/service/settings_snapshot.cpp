// SPDX-License-Identifier: BSD-2-Clause
#include <service/settings_snapshot.h>

#include <base/hashing.h>
#include <base/verify.h>

namespace postpaddle::service {

const settings::organisation_policy* settings_snapshot::policy_of_key(const std::string& key) const {
    const auto found = this->organisation_by_key_hash.find(base::sha256_hex(key));
    if (found == this->organisation_by_key_hash.end())
        return nullptr;
    return &this->policies.at(found->second);
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
            snapshot->organisation_by_key_hash[hash] = path;
        snapshot->policies[path] = settings::policy_of(*state.tree, path);
    }
    return snapshot;
}

} // namespace postpaddle::service
