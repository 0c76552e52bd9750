#ifndef CYCLAMENRUN_TESTS_SANITIZER_HPP
#define CYCLAMENRUN_TESTS_SANITIZER_HPP

namespace cyclamenrun::testing_support
{

/**
 * Whether this is a build with a sanitizer. Its allocator keeps freed memory,
 * so that memory can't be measured, and all code takes much more processor
 * time.
 */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
inline constexpr bool sanitized = true;
#elif defined(__has_feature)
#if __has_feature(address_sanitizer) || __has_feature(thread_sanitizer)
inline constexpr bool sanitized = true;
#else
inline constexpr bool sanitized = false;
#endif
#else
inline constexpr bool sanitized = false;
#endif

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_SANITIZER_HPP
