#include "linear_fit.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenrun::bench
{

linear_fit fit_line(const std::vector<sample_point>& points)
{
    const auto count = static_cast<double>(points.size());
    double size_sum = 0.0;
    double value_sum = 0.0;
    for (const auto& point : points) {
        size_sum += point.size;
        value_sum += point.value;
    }
    double product_sum = 0.0;
    double square_sum = 0.0;
    for (const auto& point : points) {
        const auto distance = point.size - size_sum / count;
        product_sum += distance * (point.value - value_sum / count);
        square_sum += distance * distance;
    }
    linear_fit fit;
    fit.slope = square_sum > 0.0 ? product_sum / square_sum : 0.0;
    fit.base = value_sum / count - fit.slope * size_sum / count;
    double largest_value = 0.0;
    double largest_deviation = 0.0;
    for (const auto& point : points) {
        largest_value = std::max(largest_value, std::abs(point.value));
        largest_deviation = std::max(
            largest_deviation, std::abs(point.value - fit.at(point.size)));
    }
    fit.residual =
        largest_value > 0.0 ? largest_deviation / largest_value : 0.0;
    return fit;
}

} // namespace cyclamenrun::bench
