#ifndef CYCLAMENRUN_TOML_PARSER_HPP
#define CYCLAMENRUN_TOML_PARSER_HPP

// All sources include toml++ through this header, so that they share one
// configuration: errors are returned as results, not thrown.
#define TOML_EXCEPTIONS 0 // NOLINT(bugprone-reserved-identifier)
#include <toml++/toml.h>

#endif // CYCLAMENRUN_TOML_PARSER_HPP
