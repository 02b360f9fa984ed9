package main

func measureAppends(arguments) ([]measurement, error) { return nil, nil }
