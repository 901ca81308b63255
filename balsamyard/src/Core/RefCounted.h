#pragma once

#include <atomic>
#include <boost/intrusive_ptr.hpp>
#include <cstdint>

namespace balsamyard {

/// \brief Base class of objects that are owned through boost::intrusive_ptr.
///
/// \code
/// struct Item : RefCounted<Item> {};
/// boost::intrusive_ptr<Item> Owner(new Item);
/// \endcode
template <typename Derived> class RefCounted {
public:
  RefCounted() = default;
  RefCounted(const RefCounted &) : Count(0) {}
  RefCounted &operator=(const RefCounted &) { return *this; }

  friend void intrusive_ptr_add_ref(const Derived *Object) {
    Object->Count.fetch_add(1, std::memory_order_relaxed);
  }

  friend void intrusive_ptr_release(const Derived *Object) {
    if (Object->Count.fetch_sub(1, std::memory_order_acq_rel) == 1)
      delete Object;
  }

protected:
  ~RefCounted() = default;

private:
  mutable std::atomic<std::uint32_t> Count{0};
};

/// \brief Shared ownership of an immutable or self-synchronized object.
template <typename T> using Ref = boost::intrusive_ptr<T>;

/// \returns a new object with one reference.
template <typename T, typename... Args> Ref<T> makeRef(Args &&...Arguments) {
  // Braces would aggregate-initialize the base class here, where its protected
  // destructor is not accessible.
  if constexpr (sizeof...(Args) == 0)
    return Ref<T>(new T());
  else
    return Ref<T>(new T{static_cast<Args &&>(Arguments)...});
}

} // namespace balsamyard
