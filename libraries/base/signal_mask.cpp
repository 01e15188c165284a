// SPDX-License-Identifier: BSD-2-Clause
#include <base/signal_mask.h>

#include <csignal>
#include <initializer_list>

namespace postpaddle::base {

void block_control_signals() {
    sigset_t signals;
    (void)sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        (void)sigaddset(&signals, signal);
    (void)pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace postpaddle::base
