"""Tests of the package, with one test module for each module under test."""
