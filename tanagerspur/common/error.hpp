// Errors in input: where they are and what was expected there. Functions that can fail on their
// input return result<T>; capture() converts it to a value or an input_error.

#ifndef TANAGERSPUR_COMMON_ERROR_HPP
#define TANAGERSPUR_COMMON_ERROR_HPP

#include <boost/leaf.hpp>

#include <string>
#include <utility>
#include <variant>

namespace tanagerspur
{

namespace leaf = boost::leaf;

template<class T> using result = leaf::result<T>;

// The source of the input, the position within it, and what was expected there.
struct input_error
{
    std::string source;
    std::string section;
    std::string key;
    std::string expected;
};

// One line: "source: [section] key: expected ...".
std::string to_string(const input_error& error);

// Runs a function that returns result<T>; returns its value or its input_error.
template<class Function> auto capture(Function&& function)
{
    using value_type = std::decay_t<decltype(*function())>;
    using outcome = std::variant<value_type, input_error>;
    return leaf::try_handle_all(
        [&]() -> result<outcome>
        {
            auto made = std::forward<Function>(function)();
            if (!made)
                return made.error();
            return outcome{std::move(*made)};
        },
        [](const input_error& error) { return outcome{error}; },
        [] { return outcome{input_error{.expected = "valid input"}}; });
}

} // namespace tanagerspur

#endif
