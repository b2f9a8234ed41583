#pragma once
// What a process takes of its machine, as the kernel counts it.
#include <cstddef>
#include <sys/types.h>

namespace wharf {

/// The most memory that a process ever had resident, in KiB; 0 once it is gone.
std::size_t peak_memory_kb(pid_t process);
/// Descriptors it has open now.
std::size_t open_descriptors(pid_t process);
/// True while it runs; a child that has ended is not running, also before it is waited for.
bool is_process_running(pid_t process);

} // namespace wharf
