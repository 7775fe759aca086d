# Plots the tables of the policy bench: gnuplot -e "directory='build'" bench/policy.gnuplot
set datafile separator ","
set terminal svg size 1200,700 dynamic
set style data histogram
set style histogram clustered gap 1
set style fill solid 0.8 border -1
set xtics rotate by -30
set grid ytics
set logscale y
set key top left
set ylabel "response over the ideal"
policy(i) = i == 1 ? "oracle" : i == 2 ? "jaytrail" : i == 3 ? "least in flight" : i == 4 ? "round robin" : "random"
rows(name) = sprintf("< grep ',%s,' %s/policy.csv", name, directory)
set output directory."/policy-p99.svg"
set title "99th percentile of the response over the ideal, by workload"
plot for [i=1:5] rows(policy(i)) using 4:xtic(1) title policy(i)
set output directory."/policy-median.svg"
set title "Median of the response over the ideal, by workload"
plot for [i=1:5] rows(policy(i)) using 3:xtic(1) title policy(i)
