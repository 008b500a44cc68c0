// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/rcu_snapshot.h"

#ifdef VETCHPOST_PLAIN_SNAPSHOT
#include <shared_mutex>
#else
// With the membarrier flavour readers need no memory fence, but every reading thread must register itself.
#define RCU_MEMB
#include <urcu.h>
#endif

namespace vetchpost {

#ifdef VETCHPOST_PLAIN_SNAPSHOT

namespace {

// ThreadSanitizer does not understand liburcu, so this build counts the readers in two generations instead.
std::atomic<unsigned> readers[2];
std::atomic<unsigned> currentGeneration = 0;
std::mutex waiters;

struct reader_state
{
    unsigned depth = 0;
    unsigned generation = 0;
};

thread_local reader_state thisReader;

} // namespace

rcu_read_guard::rcu_read_guard()
{
    if (thisReader.depth++ == 0) {
        thisReader.generation = currentGeneration.load() & 1U;
        readers[thisReader.generation].fetch_add(1);
    }
}

rcu_read_guard::~rcu_read_guard()
{
    if (--thisReader.depth == 0) {
        readers[thisReader.generation].fetch_sub(1);
    }
}

void waitForRcuReaders()
{
    const std::lock_guard lock(waiters);
    // A reader may read the generation before a flip and increment its counter after it, so that two flips are needed.
    for (int flip = 0; flip < 2; ++flip) {
        const auto previous = currentGeneration.fetch_add(1) & 1U;
        while (readers[previous].load() != 0) { }
    }
}

#else

namespace {

struct registered_thread
{
    registered_thread()
    {
        rcu_register_thread();
    }

    ~registered_thread()
    {
        rcu_unregister_thread();
    }
};

void registerThisThread()
{
    thread_local const registered_thread registration;
}

} // namespace

rcu_read_guard::rcu_read_guard()
{
    registerThisThread();
    rcu_read_lock();
}

rcu_read_guard::~rcu_read_guard()
{
    rcu_read_unlock();
}

void waitForRcuReaders()
{
    synchronize_rcu();
}

#endif

} // namespace vetchpost
