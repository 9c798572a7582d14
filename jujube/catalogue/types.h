// What operators configure: teams, keys, catalogue entries, zone membership.
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

// What kind of work a catalogue entry describes.
enum class WorkClass {
  // Runs until it is cancelled; restarted elsewhere when its worker goes. Live
  // requests are sent to the runners that announce the entry.
  Service,
  // Independent tasks that run to an end.
  Batch,
  // Tasks that must all start together or not at all.
  Gang,
};

inline constexpr NameTable<WorkClass, 3> WorkClassNames = {{
    {WorkClass::Service, "service"},
    {WorkClass::Batch, "batch"},
    {WorkClass::Gang, "gang"},
}};
static_assert(isComplete(WorkClassNames));

// How soon work has to start.
enum class Urgency { Normal, Urgent };

inline constexpr NameTable<Urgency, 2> UrgencyNames = {{
    {Urgency::Normal, "normal"},
    {Urgency::Urgent, "urgent"},
}};
static_assert(isComplete(UrgencyNames));

// A customer's team: its share when the fleet is full, and its ceiling.
struct Team {
  TeamId Id;
  // Weight against the other teams' shares; at least 1.
  uint32_t Share = 1;
  // The most it may have running over the whole fleet.
  Resources Ceiling;

  bool operator==(const Team &) const = default;
};

// One kind of work that an operator has set up.
struct Entry {
  EntryId Id;
  TeamId Owner;
  WorkClass Class = WorkClass::Batch;
  Urgency Priority = Urgency::Normal;
  // Tasks of one request, unless the request says otherwise.
  uint32_t Tasks = 1;
  // Declared size of one task.
  Resources Ask;
  // Declared run time of one task; zero if it is not known.
  Duration RunTime;
  // The most tasks of this entry that run at once in a zone; 0 for no limit.
  uint32_t MaxRunning = 0;
  // Attempts per task before it counts as failed; at least 1.
  uint32_t MaxAttempts = 3;
  // True if work may be run again after an outcome that is not known.
  bool IsIdempotent = true;
  // True if the tasks can save their progress and continue elsewhere.
  bool CanCheckpoint = false;
  // True if the tasks keep working when they are given less than they ask for.
  bool CanThrottle = false;
  // True if work is accepted without a key; it counts against the owner.
  bool IsOpen = false;

  bool operator==(const Entry &) const = default;
};

// A key of a team. The secret itself is not kept.
struct Key {
  KeyId Id;
  TeamId Team;
  std::string Salt;
  // Hex SHA-256 of salt and secret.
  std::string Digest;

  bool operator==(const Key &) const = default;
};

// What a process of the system does.
enum class HostRole { Keeper, Zone, Entry };

inline constexpr NameTable<HostRole, 3> HostRoleNames = {{
    {HostRole::Keeper, "keeper"},
    {HostRole::Zone, "zone"},
    {HostRole::Entry, "entry"},
}};
static_assert(isComplete(HostRoleNames));

// A process of the system as it announced itself.
struct Host {
  HostId Id;
  HostRole Role = HostRole::Entry;
  ZoneId Zone;
  // Where it listens for other processes of the system.
  Address Peer;

  bool operator==(const Host &) const = default;
};

} // namespace jujube::catalogue

#endif // JUJUBE_CATALOGUE_TYPES_H_
