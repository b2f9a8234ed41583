#include "capstan/duty.hpp"

#include <stdexcept>

namespace wharf {

namespace {
void *run_work(void *argument) {
  (*static_cast<std::function<void()> *>(argument))();
  return nullptr;
}
} // namespace

Duty::Duty(const std::string &name, std::function<void()> work) : work_(std::move(work)) {
  if (pthread_create(&thread_, nullptr, run_work, &work_) != 0)
    throw std::runtime_error("no thread for " + name);
  pthread_setname_np(thread_, name.substr(0, 15).c_str());
}

Duty::~Duty() { join(); }

void Duty::join() {
  if (is_joined_) return;
  is_joined_ = true;
  pthread_join(thread_, nullptr);
}

} // namespace wharf
