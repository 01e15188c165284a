// SPDX-License-Identifier: BSD-2-Clause
#include <service/settings_store.h>

namespace postpaddle::service {

settings_pointer settings_store::current() const { return this->active.load(); }

bool settings_store::update(settings_pointer snapshot) {
    // No compare-and-swap needed: the control thread is the only writer.
    const settings_pointer active_now = this->active.load();
    if (active_now && snapshot->revision < active_now->revision)
        return false;
    this->active.store(std::move(snapshot));
    return true;
}

} // namespace postpaddle::service
