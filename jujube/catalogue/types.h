// Types of the catalogue, which operators edit: teams, keys and entries; and of
// the processes of the system.
#ifndef JUJUBE_CATALOGUE_TYPES_H_
#define JUJUBE_CATALOGUE_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/resources.h"

namespace jujube::catalogue {

// The kind of work that a catalogue entry describes.
enum class WorkClass {
  // Runs until it is cancelled, and is restarted on another worker if its
  // worker is lost. Live requests are sent to the runners that announce the
  // entry.
  Service,
  // Independent tasks that run to completion.
  Batch,
  // Tasks that have to start all together or not at all.
  Gang,
};

inline constexpr NameTable<WorkClass, 3> WorkClassNames = {{
    {WorkClass::Service, "service"},
    {WorkClass::Batch, "batch"},
    {WorkClass::Gang, "gang"},
}};
static_assert(isComplete(WorkClassNames));

// Priority with which work is started.
enum class Urgency { Normal, Urgent };

inline constexpr NameTable<Urgency, 2> UrgencyNames = {{
    {Urgency::Normal, "normal"},
    {Urgency::Urgent, "urgent"},
}};
static_assert(isComplete(UrgencyNames));

// A customer's team, with its share of a full fleet and its ceiling.
struct Team {
  TeamId Id;
  // Weight relative to the shares of the other teams; at least 1.
  uint32_t Share = 1;
  // Maximum resources that the team's work may use in the whole fleet.
  Resources Ceiling;

  bool operator==(const Team &) const = default;
};

// A catalogue entry: one kind of work, set up by an operator.
struct Entry {
  EntryId Id;
  TeamId Owner;
  WorkClass Class = WorkClass::Batch;
  Urgency Priority = Urgency::Normal;
  // Default number of tasks per request.
  uint32_t Tasks = 1;
  // Declared resources of one task.
  Resources Demand;
  // Declared run time of one task; zero if unknown.
  Duration RunTime;
  // Maximum number of tasks of this entry that run concurrently in a zone; 0
  // for no limit.
  uint32_t MaxRunning = 0;
  // Number of attempts after which a task counts as failed; at least 1.
  uint32_t MaxAttempts = 3;
  // True if work may be run again when the outcome of an attempt is unknown.
  bool IsIdempotent = true;
  // True if the tasks can save their progress and resume on another worker.
  bool CanCheckpoint = false;
  // True if the tasks can run with fewer resources than declared.
  bool CanThrottle = false;
  // True if work is accepted without a key; it is then charged to the owner.
  bool IsOpen = false;

  bool operator==(const Entry &) const = default;
};

// An API key of a team. The secret itself is not stored.
struct Key {
  KeyId Id;
  TeamId Team;
  std::string Salt;
  // Hexadecimal SHA-256 digest of the salt and the secret.
  std::string Digest;

  bool operator==(const Key &) const = default;
};

// The role of a process of the system.
enum class HostRole { Keeper, Zone, Entry };

inline constexpr NameTable<HostRole, 3> HostRoleNames = {{
    {HostRole::Keeper, "keeper"},
    {HostRole::Zone, "zone"},
    {HostRole::Entry, "entry"},
}};
static_assert(isComplete(HostRoleNames));

// A process's description of itself.
struct Host {
  HostId Id;
  HostRole Role = HostRole::Entry;
  ZoneId Zone;
  // Address on which it listens for other processes of the system.
  Address Peer;

  bool operator==(const Host &) const = default;
};

} // namespace jujube::catalogue

#endif // JUJUBE_CATALOGUE_TYPES_H_
