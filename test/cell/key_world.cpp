#include "cell/key_world.hpp"

#include "mulberryramp/core/digest.hpp"

#include <algorithm>

namespace mulberryramp::test {

namespace {

constexpr std::uint64_t OrganisationCount = 2;
constexpr std::uint64_t ChangingKeys = 6;

std::string organisationName(std::uint64_t Index) {
  return "o" + std::to_string(Index);
}

std::string stableKey(std::uint64_t Index) {
  return "stable" + std::to_string(Index);
}

std::string changingKey(std::uint64_t Index) {
  return "key" + std::to_string(Index);
}

} // namespace

KeyWorld::KeyWorld(std::uint64_t Seed, KeyTrap Trap) : Trap{Trap}, Rng{Seed} {
  Version &First = Versions.emplace_back();
  for (std::uint64_t Index = 0; Index < OrganisationCount; ++Index) {
    First.Owners[stableKey(Index)] = organisationName(Index);
  }
  for (std::uint64_t Index = 0; Index < ChangingKeys / 2; ++Index) {
    First.Owners[changingKey(Index)] =
        organisationName(Index % OrganisationCount);
  }
}

void KeyWorld::change() {
  Version Next;
  Next.Owners = Versions.back().Owners;
  const std::uint64_t Changes = 1 + Rng.below(2);
  for (std::uint64_t Change = 0; Change < Changes; ++Change) {
    // A key is added, moved or removed, with equal odds for both organisations
    // and for none.
    const std::string Key = randomKey();
    const std::uint64_t Owner = Rng.below(OrganisationCount + 1);
    Next.Owners.erase(Key);
    if (Owner < OrganisationCount) {
      Next.Owners[Key] = organisationName(Owner);
    }
  }
  Versions.push_back(std::move(Next));
}

CellConfiguration
KeyWorld::configuration(CellConfiguration Configuration) const {
  std::map<std::string, std::string> Owners = Versions.back().Owners;
  if (Trap == KeyTrap::IgnoresRemovals) {
    for (const Version &Former : Versions) {
      Owners.insert(Former.Owners.begin(), Former.Owners.end());
    }
  } else if (Trap == KeyTrap::IgnoresAdditions) {
    std::erase_if(Owners, [this](const auto &Entry) {
      return !Versions.front().Owners.contains(Entry.first);
    });
  }
  Configuration.Version = Versions.size();
  Configuration.RequiresKeys = true;
  for (std::uint64_t Index = 0; Index < OrganisationCount; ++Index) {
    Organisation &Row = Configuration.Organisations.emplace_back();
    Row.Name = organisationName(Index);
    for (const auto &[Key, Owner] : Owners) {
      if (Owner == Row.Name) {
        Row.KeyDigests.push_back(sha256(Key));
      }
    }
  }
  return Configuration;
}

void KeyWorld::onSent(Instant Now) {
  Versions.back().SentAt = Versions.back().SentAt.value_or(Now);
}

void KeyWorld::onAcknowledged(Instant Now) { Versions.back().AckedAt = Now; }

std::string KeyWorld::keyOf(const std::string &Job) {
  return stableKey(static_cast<std::uint64_t>(Job.back()) % OrganisationCount);
}

std::string KeyWorld::randomKey() {
  return changingKey(Rng.below(ChangingKeys));
}

std::string KeyWorld::check(const std::string &Key, Instant SentAt, Instant Now,
                            CellVerdict Verdict) const {
  // The call was decided with the last version that was acknowledged before it
  // was sent, or with a later one that was sent before the answer.
  const auto Base = std::find_if(Versions.rbegin(), Versions.rend(),
                                 [SentAt](const Version &Row) {
                                   return Row.AckedAt && *Row.AckedAt <= SentAt;
                                 });
  if (Base == Versions.rend()) {
    return {};
  }
  bool IsEverValid = false;
  bool IsEverInvalid = false;
  for (auto It = Base.base() - 1; It != Versions.end(); ++It) {
    if (It->SentAt && *It->SentAt <= Now) {
      IsEverValid = IsEverValid || It->Owners.contains(Key);
      IsEverInvalid = IsEverInvalid || !It->Owners.contains(Key);
    }
  }
  if (Verdict == CellVerdict::Done && !IsEverValid) {
    return "a call was served with the removed key " + Key;
  }
  if (Verdict == CellVerdict::Unauthenticated && !IsEverInvalid) {
    return "a call was denied with the valid key " + Key;
  }
  return {};
}

} // namespace mulberryramp::test
