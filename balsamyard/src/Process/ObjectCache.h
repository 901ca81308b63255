#pragma once

#include "balsamyard/src/Process/ObjectFeed.h"
#include "balsamyard/src/Process/PlatformAdapter.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace balsamyard {

/// \brief What happened to the objects of one kind, as read from the store or
/// received from another node.
struct KindUpdate {
  ObjectKind Kind = ObjectKind::Configuration;
  bool Complete = false; ///< Changes holds every object of the kind.
  std::vector<ObjectChange> Changes;
  StoreRevision AsOf{}; ///< Includes every change up to this revision.
};

/// \brief The objects of the store that this node knows, from which it brings
/// other nodes up to date.
///
/// Updates may come from several sources, some of which lag behind. An update
/// never replaces an object by an older one, and never brings back an object
/// whose removal is known. The first complete update of a new era of the store
/// replaces all objects.
class ObjectCache {
public:
  /// \brief Limit on the remembered removals of a kind. A reader that has
  /// missed older ones gets all objects.
  static constexpr std::size_t MaxRemovals = 4096;

  /// \brief Applies \p Update. \returns the changes that were new. At the start
  /// of a new era, objects with the same content as before are not.
  std::vector<ObjectChange> update(KindUpdate Update);

  /// \returns the revision up to which the kind is known, or nothing before the
  /// first complete update.
  std::optional<StoreRevision> asOf(ObjectKind Kind) const;

  /// \returns the changes after \p Since, or all objects if \p Since is not
  /// given or too old. The kind must be known. \sa asOf
  KindUpdate since(ObjectKind Kind, std::optional<StoreRevision> Since) const;

  /// \returns all objects of the kind.
  std::vector<StoredObject> objects(ObjectKind Kind) const;

private:
  /// Encoded objects take a fraction of the memory of decoded ones.
  struct Entry {
    StoreRevision Revision{};
    std::string Encoded;
  };

  struct KindState {
    std::optional<StoreRevision> AsOf;
    std::map<std::string, Entry> Objects; ///< By name.
    std::deque<std::pair<StoreRevision, std::string>> Removals;
    StoreRevision RemovalsFrom{}; ///< Earlier removals are forgotten.
  };

  static void remove(KindState &State, const std::string &Name,
                     StoreRevision At);

  std::map<ObjectKind, KindState> Kinds;
};

/// \brief Encodes the content and status of an object as CBOR.
std::string encodeObject(const StoredObject &Object);

/// \brief Decodes \p Bytes into the content and status of \p Object. \returns
/// whether they are valid.
bool decodeObject(std::string_view Bytes, StoredObject &Object);

} // namespace balsamyard
