#include "balsamyard/src/Version/RcuCell.h"

#include <urcu/urcu-memb.h>

namespace balsamyard::internal {

namespace {

struct RegisteredThread {
  RegisteredThread() { urcu_memb_register_thread(); }
  ~RegisteredThread() { urcu_memb_unregister_thread(); }
};

} // namespace

void rcuReadLock() {
  thread_local RegisteredThread Registration;
  urcu_memb_read_lock();
}

void rcuReadUnlock() { urcu_memb_read_unlock(); }

void rcuWaitForReaders() { urcu_memb_synchronize_rcu(); }

} // namespace balsamyard::internal
