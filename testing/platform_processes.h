// Runs jujube-core and jujube-front as real processes on loopback, with one
// worker in the test's process.
#ifndef TESTING_PLATFORM_PROCESSES_H_
#define TESTING_PLATFORM_PROCESSES_H_

#include <sys/types.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/runtime/task.h"

namespace jujube::testing {

// What a process uses, as the kernel tells.
struct ProcessUsage {
  // The most memory that was resident at a time.
  std::size_t PeakKilobytes = 0;
  std::size_t Descriptors = 0;
};

// A process of the product. The destructor kills it.
class ServedProcess {
public:
  ServedProcess(const std::string &program, std::vector<std::string> flags,
                const std::string &logPath);
  ~ServedProcess();
  ServedProcess(const ServedProcess &) = delete;
  ServedProcess &operator=(const ServedProcess &) = delete;

  bool isAlive();
  ProcessUsage usage() const;

private:
  pid_t Pid = 0;
};

// One core member, one entry host and one worker.
class PlatformProcesses {
public:
  // Starts the processes, stores a configuration and waits until a job has been
  // completed.
  PlatformProcesses();
  ~PlatformProcesses();

  static Address clients();
  static Address readiness();
  static Address control();
  static Address frontMetrics();
  static Address coreMetrics();

  ServedProcess &core() { return *Core; }
  ServedProcess &front() { return *Front; }

  // Submits a job of one task that runs for `ms`; returns the last status.
  // Repeats the call while it is refused, as callers do, for at most a minute.
  static int submit(const std::string &id, int ms);
  // Waits up to a minute until the job is shown as completed.
  static bool awaitCompleted(const std::string &id);
  // Repeats a GET for at most a minute until its status is 200.
  static bool isAnswered(const Address &at, const std::string &path);
  // The path of a job on the configured queue.
  static std::string pathOf(const std::string &id);

private:
  std::string Folder;
  std::unique_ptr<runtime::Task> Workers;
  std::unique_ptr<ServedProcess> Core;
  std::unique_ptr<ServedProcess> Front;
};

} // namespace jujube::testing

#endif // TESTING_PLATFORM_PROCESSES_H_
