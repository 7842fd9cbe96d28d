"""Structs generated from ``wire.thrift``; do not edit by hand."""
