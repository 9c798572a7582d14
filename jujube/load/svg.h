// Line plots as SVG text. Pure.
#ifndef JUJUBE_LOAD_SVG_H_
#define JUJUBE_LOAD_SVG_H_

#include <string>
#include <vector>

namespace jujube::load {

struct PlotPoint {
  double X = 0;
  double Y = 0;
};

struct PlotLine {
  std::string Name;
  std::vector<PlotPoint> Points;
};

// Something that happened at one place of the x axis; drawn as a dashed line
// over the whole height.
struct PlotMark {
  std::string Name;
  double X = 0;
};

// How the x axis runs; both begin at 0.
enum class XAxis {
  Linear,
  // By the logarithm of 1 + x, with a tick at each power of ten.
  Log,
};

struct Plot {
  std::string Title;
  std::string XLabel;
  std::string YLabel;
  std::vector<PlotLine> Lines;
  std::vector<PlotMark> Marks;
  XAxis Axis = XAxis::Linear;
};

// Renders one plot with axes, grid and a legend. More lines than colours differ
// by their dashes; lines of many points are thinned to the width in pixels.
std::string renderSvg(const Plot &plot);

} // namespace jujube::load

#endif // JUJUBE_LOAD_SVG_H_
