#include "linear_fit.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenrun::bench
{

linear_fit fit_line(const std::vector<sample_point>& points)
{
    const auto count = static_cast<double>(points.size());
    double sizes = 0.0;
    double values = 0.0;
    for (const auto& point : points) {
        sizes += point.size;
        values += point.value;
    }
    double above = 0.0;
    double below = 0.0;
    for (const auto& point : points) {
        const auto distance = point.size - sizes / count;
        above += distance * (point.value - values / count);
        below += distance * distance;
    }
    linear_fit fit;
    fit.slope = below > 0.0 ? above / below : 0.0;
    fit.base = values / count - fit.slope * sizes / count;
    double largest = 0.0;
    double farthest = 0.0;
    for (const auto& point : points) {
        largest = std::max(largest, std::abs(point.value));
        farthest =
            std::max(farthest, std::abs(point.value - fit.at(point.size)));
    }
    fit.residual = largest > 0.0 ? farthest / largest : 0.0;
    return fit;
}

} // namespace cyclamenrun::bench
