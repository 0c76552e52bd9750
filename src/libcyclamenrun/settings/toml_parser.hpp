#ifndef CYCLAMENRUN_TOML_PARSER_HPP
#define CYCLAMENRUN_TOML_PARSER_HPP

// Every use of toml++ goes through this header, so that all see it configured
// alike: no exceptions, errors come as results.
#define TOML_EXCEPTIONS 0 // NOLINT(bugprone-reserved-identifier)
#include <toml++/toml.h>

#endif // CYCLAMENRUN_TOML_PARSER_HPP
